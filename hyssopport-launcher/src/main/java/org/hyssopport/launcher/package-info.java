/** The daemon: the threads for each duty around the engine, and its HTTP interface. */
package org.hyssopport.launcher;
