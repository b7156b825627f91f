/** What a scheduler knows of a worker: its description, its lease and its ledger. */
package org.hyssopport.engine.worker;
