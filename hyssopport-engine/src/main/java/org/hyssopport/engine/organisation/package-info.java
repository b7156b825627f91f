/** The organisations that share a cell: their API keys, shares and limits. */
package org.hyssopport.engine.organisation;
