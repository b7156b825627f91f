/** Jobs, their steps and tasks, and the progress of each. */
package org.hyssopport.engine.job;
