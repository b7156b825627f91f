/** Tests of the oracle, which checks a history against the guarantees. */
package org.hyssopport.testkit.oracle;
