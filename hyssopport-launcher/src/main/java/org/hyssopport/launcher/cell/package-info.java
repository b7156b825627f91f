/** A member of a cell: answers callers, takes part in the election, and runs the scheduler. */
package org.hyssopport.launcher.cell;
