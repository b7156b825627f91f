/** Tests of the log's records and of the projections computed from them. */
package org.hyssopport.engine.work;
