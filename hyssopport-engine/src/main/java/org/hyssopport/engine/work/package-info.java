/**
 * The records of the log's streams, and the projections that every entry instance computes from
 * them.
 */
package org.hyssopport.engine.work;
