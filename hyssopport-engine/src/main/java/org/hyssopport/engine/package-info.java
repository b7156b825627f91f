/**
 * The decisions of one entry instance of {@code hyssopport serve}, separate from all input and
 * output.
 *
 * <p>{@link org.hyssopport.engine.EntryEngine} takes typed events and the current time and returns
 * typed effects. It opens no sockets, starts no threads and reads no clock.
 *
 * <p>The entry instances of a failure domain share its workers: an instance places work only on
 * workers whose lease it holds. Requests are held in memory. Jobs and idempotency keys are stored
 * in the log, from whose records every instance computes the same state. An attempt at a task is
 * claimed in the log before it is started, and its worker stops it at its horizon unless the
 * horizon is extended. An attempt that outlives the call that starts it is called kept.
 *
 * <p>The scheduler of {@code hyssopport cell}, in {@code org.hyssopport.engine.scheduler}, is a
 * separate system. Both use {@code org.hyssopport.engine.platform}.
 */
package org.hyssopport.engine;
