/** Pure functions that order ready steps and choose workers for their tasks. */
package org.hyssopport.engine.placement;
