/** A world in virtual time around the pure scheduler: workers, store and advice with faults. */
package org.hyssopport.testkit.world;
