/** Tests of the console module. */
package org.hyssopport.console;
