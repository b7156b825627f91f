/**
 * The entry instance that {@code hyssopport serve} runs: the threads that run the engine and
 * connect it to the platform, and the HTTP API.
 *
 * <p>{@link org.hyssopport.launcher.BoundedQueue} and {@link
 * org.hyssopport.launcher.MetricRegistry} are also used by the members of a cell.
 */
package org.hyssopport.launcher;
