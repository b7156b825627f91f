/**
 * The scheduler of a cell: keeps the state of jobs, workers and runs, and turns events into
 * effects.
 */
package org.hyssopport.engine.scheduler;
