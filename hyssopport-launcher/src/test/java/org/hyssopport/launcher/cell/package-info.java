/** Tests of the components of a cell member. */
package org.hyssopport.launcher.cell;
