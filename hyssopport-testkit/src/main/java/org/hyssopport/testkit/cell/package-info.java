/**
 * A simulated cell of entry instances ({@code hyssopport serve}) for tests: entry engines connected
 * to the models of the platform's stand-ins, without threads, on an injected clock and a seeded
 * random number generator.
 */
package org.hyssopport.testkit.cell;
