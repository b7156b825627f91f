/**
 * The decisions of one entry instance, apart from all input and output.
 *
 * <p>{@link org.hyssopport.engine.EntryEngine} takes typed events and the time and returns typed
 * effects. It opens no socket, starts no thread and reads no clock.
 */
package org.hyssopport.engine;
