/** The command-line interface with all of its commands. */
package org.hyssopport.console;
