/** The configuration of a cell and its routes to the queues. */
package org.hyssopport.engine.configuration;
