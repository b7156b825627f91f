/** Jobs of several steps, their tasks, and how far each has got. */
package org.hyssopport.engine.job;
