/** Tests of the log's records and folds. */
package org.hyssopport.engine.work;
