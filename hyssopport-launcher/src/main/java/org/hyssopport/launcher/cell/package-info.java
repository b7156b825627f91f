/** The daemon of a cell member: callers, membership, and the scheduler when it is elected. */
package org.hyssopport.launcher.cell;
