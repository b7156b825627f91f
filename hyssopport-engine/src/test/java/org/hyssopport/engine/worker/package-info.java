/** Tests of what a scheduler knows of a worker. */
package org.hyssopport.engine.worker;
