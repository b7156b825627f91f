/** Tests of the scheduler's view of a worker. */
package org.hyssopport.engine.worker;
