/** Stand-ins that speak the HTTP protocol of the users' platform and can inject faults. */
package org.hyssopport.testkit.platform;
