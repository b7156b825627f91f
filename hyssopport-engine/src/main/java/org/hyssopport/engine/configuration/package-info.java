/** The configuration of a cell in force. */
package org.hyssopport.engine.configuration;
