/** Tests of the oracle. */
package org.hyssopport.testkit.oracle;
