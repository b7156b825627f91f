/** Tests of what organisations may have running. */
package org.hyssopport.engine.quota;
