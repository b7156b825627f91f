/**
 * The decisions of one entry instance, separate from all input and output.
 *
 * <p>{@link org.hyssopport.engine.EntryEngine} takes typed events and the current time and returns
 * typed effects. It opens no sockets, starts no threads and reads no clock.
 */
package org.hyssopport.engine;
