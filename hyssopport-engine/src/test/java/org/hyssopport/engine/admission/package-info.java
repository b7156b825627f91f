/** Tests of the decisions about which jobs to refuse. */
package org.hyssopport.engine.admission;
