/** The scheduler in virtual time, under loads and faults. */
package org.hyssopport.testkit.world;
