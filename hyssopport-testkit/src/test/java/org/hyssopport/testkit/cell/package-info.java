/** Scripted scenarios and stateful fuzzing of a simulated cell. */
package org.hyssopport.testkit.cell;
