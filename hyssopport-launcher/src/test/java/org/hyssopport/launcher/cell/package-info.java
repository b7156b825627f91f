/** Tests of a member's duties. */
package org.hyssopport.launcher.cell;
