/** Pure decisions on order, placement and admission. */
package org.hyssopport.engine.placement;
