/** Tests of the pure scheduler, event by event. */
package org.hyssopport.engine.scheduler;
