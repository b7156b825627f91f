/** Tests of the launcher module. */
package org.hyssopport.launcher;
