/**
 * Benchmarks: each policy compared with a simpler one in the same run, the time of a placement
 * decision, and the cost of control traffic.
 */
package org.hyssopport.testkit.bench;
