/** The command line with all subcommands of the product. */
package org.hyssopport.console;
