/**
 * Simulates a cell ({@code hyssopport cell}) in virtual time around the real scheduler core:
 * workers, journal, callers and advice calls, with injected faults.
 */
package org.hyssopport.testkit.world;
