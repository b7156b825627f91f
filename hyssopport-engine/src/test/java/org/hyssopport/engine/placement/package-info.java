/** Tests of what calls to the placement service ask about, and in which order they are made. */
package org.hyssopport.engine.placement;
