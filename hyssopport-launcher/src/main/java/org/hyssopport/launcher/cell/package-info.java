/**
 * A member of a cell: answers callers, takes part in the election, and runs the scheduler.
 *
 * <p>A cell consists of members that share a metadata store and the workers, and elect one of
 * themselves as the scheduler for a term. {@link CellMember} wires the components together.
 */
package org.hyssopport.launcher.cell;
