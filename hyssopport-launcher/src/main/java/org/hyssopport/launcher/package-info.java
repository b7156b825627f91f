/** The daemon: the threads that run the engine and connect it to the platform, and its HTTP API. */
package org.hyssopport.launcher;
