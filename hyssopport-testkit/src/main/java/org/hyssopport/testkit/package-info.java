/**
 * Stand-ins for the platform, the oracle, the simulations, the demonstration and the benchmarks.
 */
package org.hyssopport.testkit;
