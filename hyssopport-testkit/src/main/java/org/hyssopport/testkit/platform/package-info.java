/**
 * Stand-ins for the platform of a cell's members ({@code hyssopport cell}): they speak the HTTP
 * protocol of the users' platform and can inject faults.
 */
package org.hyssopport.testkit.platform;
