/** The records of the log's streams, and the projections that every reader computes from them. */
package org.hyssopport.engine.work;
