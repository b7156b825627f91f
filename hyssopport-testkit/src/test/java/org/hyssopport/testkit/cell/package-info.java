/** Tests of the cell. */
package org.hyssopport.testkit.cell;
