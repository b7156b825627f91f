/** Tests of the scheduler in virtual time, under load and with faults. */
package org.hyssopport.testkit.world;
