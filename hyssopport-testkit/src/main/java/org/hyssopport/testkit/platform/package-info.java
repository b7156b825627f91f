/** Stand-ins that speak the users' platform's protocol, with fault switches. */
package org.hyssopport.testkit.platform;
