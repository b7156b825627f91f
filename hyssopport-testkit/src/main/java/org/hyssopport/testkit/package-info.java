/**
 * Stand-ins for the platform, the oracle, the scenarios, the demonstration and the measurements.
 */
package org.hyssopport.testkit;
