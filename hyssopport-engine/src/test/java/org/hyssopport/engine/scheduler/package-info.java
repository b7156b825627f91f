/** Tests of the scheduler of a cell, which is driven event by event. */
package org.hyssopport.engine.scheduler;
