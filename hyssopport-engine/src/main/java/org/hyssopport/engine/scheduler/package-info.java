/** The scheduler of a cell: owns jobs, holds workers, and turns events into effects. */
package org.hyssopport.engine.scheduler;
