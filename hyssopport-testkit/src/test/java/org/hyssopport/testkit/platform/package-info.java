/** End-to-end tests of members as separate processes with stand-ins for the platform. */
package org.hyssopport.testkit.platform;
