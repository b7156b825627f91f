/** Calls to the advice service, which says on which workers the tasks of a step may run. */
package org.hyssopport.engine.advice;
