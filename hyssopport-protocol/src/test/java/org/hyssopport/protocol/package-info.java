/** Tests of the protocol module. */
package org.hyssopport.protocol;
