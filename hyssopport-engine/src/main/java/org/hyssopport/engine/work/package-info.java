/** What the log says: the records of each stream and the folds that every reader computes alike. */
package org.hyssopport.engine.work;
