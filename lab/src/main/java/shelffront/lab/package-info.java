/** The commands of the lab; {@link shelffront.lab.LabMain} is their entry. */
package shelffront.lab;
