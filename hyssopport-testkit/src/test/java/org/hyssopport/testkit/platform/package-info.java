/** The whole path as separate processes against the stand-ins of the platform. */
package org.hyssopport.testkit.platform;
