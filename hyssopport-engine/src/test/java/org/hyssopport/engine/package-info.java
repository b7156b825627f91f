/** Tests of the engine module. */
package org.hyssopport.engine;
