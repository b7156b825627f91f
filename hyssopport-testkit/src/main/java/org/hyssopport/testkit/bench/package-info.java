/**
 * The measurements: each policy against a plain one in the same run, the speed of a decision, and
 * the cost of control.
 */
package org.hyssopport.testkit.bench;
