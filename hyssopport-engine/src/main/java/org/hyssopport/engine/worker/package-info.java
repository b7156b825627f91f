/** The scheduler's view of a worker: its description, its lease, its health and its runs. */
package org.hyssopport.engine.worker;
