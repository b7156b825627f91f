/**
 * Small fakes at the engine's interfaces: engines and stand-in cores joined without threads, by an
 * injected clock and a seeded random number generator.
 */
package org.hyssopport.testkit.cell;
